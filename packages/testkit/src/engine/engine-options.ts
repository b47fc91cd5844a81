import {engineModelDefaults, type EngineModelOptions} from './engine-model.js';

/** Options of the stand-in engine. */
export type EngineOptions = EngineModelOptions & {
	/** Port of the listener; 0 selects a free one. */
	port: number;
	/** Id in the instance list and in its status. */
	serverId: string;
	model: string;
	modelVersion: string;
	/** Modelled ms per real ms. */
	timeScale: number;
	/** True when the engine refuses calls with an old fencing number. */
	checksFencing: boolean;
	/** True when the engine cancels a request whose connection closes. */
	cancelsOnDisconnect: boolean;
	/** Time after a crash in which all connections are cut, in ms. */
	restartMs: number;
	/** Longest age of the load figures in the status, in ms. */
	statusLagMs: number;
	/** Delay of cache events in ms. */
	cacheEventDelayMs: number;
	/** Share of cache events that are lost, from 0 to 1. */
	cacheEventLossRate: number;
	/** Duration of loading a model or adapter without a weight store, in ms. */
	loadMs: number;
	/** Address of the platform whose weight store is used; empty for none. */
	platform: string;
	/** Seed of the random choices. */
	seed: number;
};

/** Defaults of the stand-in engine. */
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
