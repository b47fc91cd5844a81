import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {listMetrics} from './metric-names.js';
import {createMetrics} from './metrics.js';

describe('metrics', () => {
	// Guards against a counter without documentation, whose cause operators would not look for.
	it('are the ones of docs/metrics.md', () => {
		const page = readFileSync(new URL('../../../../docs/metrics.md', import.meta.url), 'utf8');
		const rows = [...page.matchAll(/^\| `(?<name>[\w.]+)` \| (?<type>counter|timing) \| \S/gmv)].map(({groups}) => ({...groups}));
		expect(rows).to.deep.equal(listMetrics());
	});

	describe('createMetrics', () => {
		let receiver: Socket;

		beforeEach(async () => {
			receiver = createSocket('udp4').bind(0, '127.0.0.1');
			await once(receiver, 'listening');
		});

		afterEach(() => {
			receiver.close();
		});

		// Guards against the loss of counters that are still buffered when the process ends.
		it('sends buffered counters with prefix and tag before it closes', async () => {
			const metrics = createMetrics(`127.0.0.1:${receiver.address().port}`, 'e1');
			metrics.countRefusal('queue_full');
			metrics.count('permit.granted', 3);
			const received = once(receiver, 'message');
			await metrics.close();
			const [message] = await received as [Uint8Array];
			expect(new TextDecoder().decode(message).trim().split('\n')).to.deep.equal([
				'knapweedrack.refusal.queue_full:1|c|#entry:e1', 'knapweedrack.permit.granted:3|c|#entry:e1',
			]);
		});
	});

	it('keeps totals without a receiver', () => {
		const metrics = createMetrics(undefined, 'e1');
		metrics.countRetry('connect_failed');
		metrics.countRetry('connect_failed');
		expect(Object.entries(metrics.getTotals())).to.deep.equal([['retry.connect_failed', 2]]);
	});
});
