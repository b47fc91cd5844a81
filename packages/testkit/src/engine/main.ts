import {Command} from 'commander';
import {parseNumberFlag, serveUntilSignal} from '../http/stand-in-program.js';
import {engineDefaults, type EngineOptions} from './engine-options.js';
import {startEngine} from './engine.js';

const command = new Command('engine')
	.description('Stand-in model engine on 127.0.0.1; prints a JSON line with its address when ready.')
	.option('--port <port>', 'port, 0 for a free one', parseNumberFlag, engineDefaults.port)
	.option('--server-id <id>', 'id in the instance list', engineDefaults.serverId)
	.option('--model <name>', 'model that is loaded at the start', engineDefaults.model)
	.option('--model-version <version>', 'version of the model', engineDefaults.modelVersion)
	.option('--time-scale <factor>', 'modelled ms per real ms', parseNumberFlag, engineDefaults.timeScale)
	.option('--kv-tokens <tokens>', 'KV memory', parseNumberFlag, engineDefaults.kvTokens)
	.option('--prefill-tokens-per-second <rate>', 'prefill speed', parseNumberFlag, engineDefaults.prefillTokensPerSecond)
	.option('--prefill-chunk-tokens <tokens>', 'prefill tokens in one step', parseNumberFlag, engineDefaults.prefillChunkTokens)
	.option('--decode-step-ms <ms>', 'duration of a decode step of the batch', parseNumberFlag, engineDefaults.decodeStepMs)
	.option('--max-concurrency <count>', 'requests at the same time', parseNumberFlag, engineDefaults.maxConcurrency)
	.option('--cold-concurrency <count>', 'requests at the same time while cold', parseNumberFlag, engineDefaults.coldConcurrency)
	.option('--cold-prefill-tokens <tokens>', 'prefill tokens in flight while cold', parseNumberFlag, engineDefaults.coldPrefillTokens)
	.option('--warm-after-requests <count>', 'completed requests until warm', parseNumberFlag, engineDefaults.warmAfterRequests)
	.option('--import-tokens-per-second <rate>', 'speed of KV import', parseNumberFlag, engineDefaults.importTokensPerSecond)
	.option('--checks-fencing', 'refuse a fencing number lower than an accepted one', engineDefaults.checksFencing)
	.option('--cancels-on-disconnect', 'cancel a request whose connection closes', engineDefaults.cancelsOnDisconnect)
	.option('--restart-ms <ms>', 'downtime after a crash', parseNumberFlag, engineDefaults.restartMs)
	.option('--status-lag-ms <ms>', 'longest age of the load in the status', parseNumberFlag, engineDefaults.statusLagMs)
	.option('--cache-event-delay-ms <ms>', 'delay of cache events', parseNumberFlag, engineDefaults.cacheEventDelayMs)
	.option('--cache-event-loss-rate <share>', 'share of cache events that are lost', parseNumberFlag, engineDefaults.cacheEventLossRate)
	.option('--load-ms <ms>', 'duration of a load without a weight store', parseNumberFlag, engineDefaults.loadMs)
	.option('--platform <address>', 'platform whose weight store is used', engineDefaults.platform)
	.option('--seed <number>', 'seed of the random choices', parseNumberFlag, engineDefaults.seed)
	.parse();

serveUntilSignal(await startEngine(command.opts<EngineOptions>()));
