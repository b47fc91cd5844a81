import {Command} from 'commander';
import {parseNumberFlag, serveUntilSignal} from '../http/stand-in-program.js';
import {serviceDefaults, startService, type ServiceOptions} from './service.js';

const command = new Command('service')
	.description('Stand-in plain service on 127.0.0.1; prints a JSON line with its address when ready.')
	.option('--port <port>', 'port, 0 for a free one', parseNumberFlag, serviceDefaults.port)
	.option('--name <name>', 'name in the answers', serviceDefaults.name)
	.option('--work-ms <ms>', 'duration of one execution', parseNumberFlag, serviceDefaults.workMs)
	.parse();

serveUntilSignal(await startService(command.opts<ServiceOptions>()));
