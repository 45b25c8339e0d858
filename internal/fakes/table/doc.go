// Package table is a stand-in of the table service: the part of the DynamoDB JSON protocol that package store uses.
//
// It serves GetItem, PutItem, DeleteItem, Query and TransactWriteItems (puts only) on tables with the string keys `pk`
// and `sk`, with conditions, atomic transactions, request tokens, the item size limit and pages of 1 MiB. It keeps
// all data in memory and checks the access key, but not the signature.
//
// Usage:
//
//	server := httptest.NewServer(table.New(table.Config{Table: "auburnwinch", AccessKeyID: "key"}))
package table
