// Package access identifies client accounts by their keys and decides how long a node may rely on the keys that it knows.
//
// Usage:
//
//	table, err := access.NewTable(accounts)
//	if err != nil {
//		return err
//	}
//	var holder access.Holder
//	holder.Store(table)
//	account, required := holder.Identify(key)
package access
