import process from 'node:process';
import {setInterval} from 'node:timers';

/** Interval in ms at which a child checks its parent; a parent ended by SIGKILL cannot end its children itself. */
const parentCheckIntervalMs = 500;
const parentPid = process.ppid;

setInterval(() => {
	if (process.ppid !== parentPid) {
		process.kill(process.pid, 'SIGKILL');
	}
}, parentCheckIntervalMs).unref();
