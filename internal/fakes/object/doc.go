// Package object is a stand-in of the object store: the part of the S3 protocol that package store uses.
//
// It serves PutObject, GetObject, HeadObject, DeleteObject and ListObjectsV2 on one bucket with path-style addresses.
// It keeps all data in memory and checks the content hash and the access key, but not the signature.
//
// Usage:
//
//	server := httptest.NewServer(object.New(object.Config{Bucket: "auburnwinch", AccessKeyID: "key"}))
package object
