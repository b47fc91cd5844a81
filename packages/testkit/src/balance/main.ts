import process from 'node:process';
import {compareChoices, renderComparison} from './compare-choices.js';

const [entryCounts = '35', agesMs = '1,50,200,500'] = process.argv.slice(2);
const toNumbers = (list: string): number[] => list.split(',').map(Number);
console.log(renderComparison(compareChoices(toNumbers(entryCounts), toNumbers(agesMs))));
