/** Groups items by a key, in the order in which the keys are first met. */
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
