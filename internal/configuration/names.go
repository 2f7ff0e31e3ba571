package configuration

import "strings"

// InPool is the name of an item whose plain name another pool's item has.
//
//	name := configuration.InPool("m1", "llm") // m1@llm
func InPool(name, pool string) string { return name + "@" + pool }

// Called finds the item that a pool's requests and workers call by a plain
// name: a model, or an adapter after a slash.
//
//	item, ok := routing.Called("llm", "m1/a3")
func (t *Table) Called(pool, plain string) (Item, bool) {
	if item, ok := t.Items[plain]; ok && item.Pool == pool {
		return item, true
	}
	model, adapter, split := strings.Cut(plain, "/")
	name := InPool(model, pool)
	if split {
		name += "/" + adapter
	}
	item, ok := t.Items[name]
	return item, ok && item.Pool == pool
}

// Plain is the name by which an item's own workers call it.
//
//	plain := item.Plain() // m1/a3
func (i Item) Plain() string { return strings.Replace(i.Name, "@"+i.Pool, "", 1) }
