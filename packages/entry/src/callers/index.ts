export {startCallerServer, type CallerServer, type CallerServerOptions} from './caller-server.js';
