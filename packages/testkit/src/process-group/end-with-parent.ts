import process from 'node:process';
import {setInterval} from 'node:timers';

/** A parent ended by SIGKILL cannot end its children, so each child checks whether its parent is still the same. */
const parentCheckIntervalMs = 500;
const parentPid = process.ppid;

setInterval(() => {
	if (process.ppid !== parentPid) {
		process.kill(process.pid, 'SIGKILL');
	}
}, parentCheckIntervalMs).unref();
