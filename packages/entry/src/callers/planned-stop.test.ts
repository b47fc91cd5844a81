import {connect, type Socket} from 'node:net';
import {expect} from 'chai';
import {refusalReasons} from '@knapweedrack/core';
import {CallerFixture, credential, type FixtureOptions} from './caller-fixture.test.js';

const body = JSON.stringify({model: 'truing-model', prompt: 'stop'});
const headers = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer ${credential}\r\ncontent-length: ${body.length}\r\n\r\n`;

/** A caller that sends its request in parts. */
class SlowCaller {
	readonly answer: Promise<string>;
	readonly #socket: Socket;

	constructor(address: string) {
		const [host, port] = address.split(':');
		this.#socket = connect(Number(port), host);
		this.answer = this.#readAnswer();
	}

	write(text: string): void {
		this.#socket.write(text);
	}

	async #readAnswer(): Promise<string> {
		let answer = '';
		for await (const part of this.#socket.setEncoding('utf8')) {
			answer += String(part);
		}

		return answer;
	}
}

describe('planned stop of the listener for callers', () => {
	let fixture: CallerFixture;
	let caller: SlowCaller;

	const open = async (options: FixtureOptions = {}) => {
		fixture = await new CallerFixture().open(options);
		caller = new SlowCaller(fixture.server.address);
	};

	const closeServer = async () => {
		await fixture.server.close();
		fixture.server = {...fixture.server, close: async () => undefined};
	};

	afterEach(async () => {
		await fixture.close();
	});

	// Guards against a stop that does not wait for requests whose body is still arriving and cuts their connections.
	describe('while a body arrives', () => {
		const waitForRequest = async () => {
			await fixture.waitUntil(() => fixture.server.countOpenRequests() === 1, 'request open');
		};

		beforeEach(async () => {
			await open();
			caller.write(headers + body.slice(0, 5));
			await waitForRequest();
		});

		it('counts the request as open and completes it', async () => {
			fixture.isStopping = true;
			caller.write(body.slice(5));
			expect(await caller.answer).to.match(/^HTTP\/1\.1 200 /v);
			await fixture.waitUntil(() => fixture.server.countOpenRequests() === 0, 'request ended');
		});

		it('refuses the request when the grace period ends', async () => {
			await closeServer();
			expect(await caller.answer).to.match(/^HTTP\/1\.1 503 /v).and.include('"outcome":"not_run"').and.include(`"reason":"${refusalReasons.entryStopping}"`);
		});
	});

	// Guards against a stop that does not wait for requests whose workspace has no slice of its limits yet and cuts their connections.
	describe('while a request waits for its limits', () => {
		let admit: () => void;

		beforeEach(async () => {
			let isWaiting = false;
			const admission = new Promise<void>(resolve => {
				admit = resolve;
			});
			await open({
				async waitForLimits() {
					isWaiting = true;
					await admission;
				},
			});
			caller.write(headers + body);
			await fixture.waitUntil(() => isWaiting, 'request waiting');
		});

		it('counts the request as open and completes it', async () => {
			fixture.isStopping = true;
			expect(fixture.server.countOpenRequests()).to.equal(1);
			admit();
			expect(await caller.answer).to.match(/^HTTP\/1\.1 200 /v);
		});

		it('refuses the request when the grace period ends and releases a late admission', async () => {
			await closeServer();
			expect(await caller.answer).to.match(/^HTTP\/1\.1 503 /v).and.include('"outcome":"not_run"').and.include(`"reason":"${refusalReasons.entryStopping}"`);
			admit();
			await fixture.waitUntil(() => fixture.admitted === 0, 'admission released');
			expect(fixture.releases).to.have.lengthOf(0);
		});
	});
});
