import type {CommandSpec} from '../program/command-spec.js';
import {reportCommand} from '../report/report-command.js';
import {benchCommand} from './bench-command.js';
import {configCommands} from './config-commands.js';
import {domainCommands, instanceCommands} from './availability-commands.js';
import {demoCommand} from './demo-command.js';
import {explainCommand} from './explain-command.js';
import {replayCommand} from './replay-command.js';
import {settingsCommand} from './settings-command.js';
import {statusCommand} from './status-command.js';

/** All commands in the order of `--help`; new commands are added here. */
export const commandTable: readonly CommandSpec[] = [
	...configCommands,
	...domainCommands,
	...instanceCommands,
	statusCommand,
	explainCommand,
	reportCommand,
	settingsCommand,
	demoCommand,
	benchCommand,
	replayCommand,
];
