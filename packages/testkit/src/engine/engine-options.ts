import {engineModelDefaults, type EngineModelOptions} from './engine-model.js';

/** Options of the stand-in engine: the model's capacity and speed, and how the process behaves in real time. */
export type EngineOptions = EngineModelOptions & {
	/** Port of the listener; 0 selects a free one. */
	port: number;
	/** Id in the instance list and in the status of the engine. */
	serverId: string;
	model: string;
	modelVersion: string;
	/** Modelled ms per real ms. */
	timeScale: number;
	/** True when the engine refuses a fencing number that is lower than one it has accepted. */
	checksFencing: boolean;
	/** True when the engine cancels a request whose connection closes. */
	cancelsOnDisconnect: boolean;
	/** Time after a crash during which all connections are closed, in ms. */
	restartMs: number;
	/** Longest age of the load in the status, in ms; 0 reports the current load. */
	statusLagMs: number;
	/** Delay of cache events in ms. */
	cacheEventDelayMs: number;
	/** Share of cache events that are lost, from 0 to 1. */
	cacheEventLossRate: number;
	/** Time to load a model or adapter when there is no weight store, in ms. */
	loadMs: number;
	/** `host:port` of the platform whose weight store is used; empty for none. */
	platform: string;
	/** Seed that selects the cache events that are lost. */
	seed: number;
};

/** Options used where none are given; also the defaults of the command line flags. */
export const engineDefaults: EngineOptions = {
	...engineModelDefaults,
	port: 0,
	serverId: 'engine-1',
	model: 'truing-model',
	modelVersion: '1',
	timeScale: 1,
	checksFencing: false,
	cancelsOnDisconnect: false,
	restartMs: 500,
	statusLagMs: 250,
	cacheEventDelayMs: 500,
	cacheEventLossRate: 0.05,
	loadMs: 2000,
	platform: '',
	seed: 1,
};
