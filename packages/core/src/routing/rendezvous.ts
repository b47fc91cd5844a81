import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Computes the rendezvous hash of a key and a candidate; the candidate with the highest hash is chosen. */
export const hashRendezvous = (key: string, candidate: string): number => h32(`${key}\0${candidate}`);

/** Selects the `count` items with the highest rendezvous hashes for a key, highest first. */
export const selectRendezvousSubset = <Item extends {id: string}>(key: string, items: readonly Item[], count: number): Item[] => {
	const hashed = items.map(item => ({item, hash: hashRendezvous(key, item.id)}));
	hashed.sort((left, right) => right.hash - left.hash || (left.item.id < right.item.id ? -1 : 1));
	return hashed.slice(0, count).map(({item}) => item);
};
