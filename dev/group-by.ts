/** Groups items by a key, in order of the first item of each key. */
export function groupBy<Item, Key>(items: Iterable<Item>, getKey: (item: Item) => Key): ReadonlyMap<Key, readonly Item[]> {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const members = groups.get(getKey(item));
		if (members === undefined) {
			groups.set(getKey(item), [item]);
		} else {
			members.push(item);
		}
	}

	return groups;
}
