import {Command} from 'commander';
import {parseNumberFlag, serveUntilSignal} from '../http/stand-in-program.js';
import {platformDefaults, startPlatform, type PlatformOptions} from './platform.js';

const command = new Command('platform')
	.description('Stand-in platform on 127.0.0.1; prints a JSON line with its address when ready.')
	.option('--port <port>', 'port, 0 for a free one', parseNumberFlag, platformDefaults.port)
	.option('--reads-per-second <rate>', 'rate limit for reads', parseNumberFlag, platformDefaults.readsPerSecond)
	.option('--writes-per-second <rate>', 'rate limit for writes', parseNumberFlag, platformDefaults.writesPerSecond)
	.option('--delay-ms <ms>', 'duration of every call', parseNumberFlag, platformDefaults.delayMs)
	.option('--list-lag-ms <ms>', 'lag of the instance list', parseNumberFlag, platformDefaults.listLagMs)
	.option('--history-limit <changes>', 'changes kept for watches', parseNumberFlag, platformDefaults.historyLimit)
	.option('--weight-transfers <count>', 'concurrent transfers of the weight store', parseNumberFlag, platformDefaults.weightTransfers)
	.option('--weight-transfer-ms <ms>', 'duration of one transfer', parseNumberFlag, platformDefaults.weightTransferMs)
	.parse();

serveUntilSignal(await startPlatform(command.opts<PlatformOptions>()));
