import {writeFile} from 'node:fs/promises';
import {renderMatrix} from './render-matrix.js';
import {loadScriptHashes, runMatrix} from './run-matrix.js';

const page = new URL('../../../../docs/fault-matrix.md', import.meta.url);
await writeFile(page, renderMatrix(runMatrix(await loadScriptHashes())));
