import {stat} from 'node:fs/promises';
import createDebug from 'debug';
import type {TimerService} from '../contracts.js';
import type {PeerSecrets} from '../peers/peer-secrets.js';
import {loadSettings} from './settings-file.js';

const debug = createDebug('knapweedrack:settings');

const checkIntervalMs = 2000;

/**
 * Polls the settings file and replaces the peer secrets when the file changes; an invalid file changes nothing. Returns a
 * function that stops the polling.
 */
export const watchPeerSecrets = (file: string, secrets: PeerSecrets, timer: TimerService): (() => void) => {
	let modifiedAt: number | undefined;
	let isReading = false;
	const check = async () => {
		isReading = true;
		const changedAt = await readModificationTime(file);
		if (changedAt === undefined || changedAt === modifiedAt) {
			return;
		}

		modifiedAt = changedAt;
		const settings = await loadSettings(file);
		if (settings.ok) {
			secrets.update(settings.value.peerSecrets);
			debug('peer secrets were reloaded from the settings file');
		} else {
			debug('the changed settings file is invalid, the peer secrets stay: %s', settings.error.message);
		}
	};

	return timer.subscribe(checkIntervalMs, async () => {
		if (!isReading) {
			await check();
			isReading = false;
		}
	});
};

const readModificationTime = async (file: string): Promise<number | undefined> => {
	try {
		const {mtimeMs} = await stat(file);
		return mtimeMs;
	} catch {
		return undefined;
	}
};
