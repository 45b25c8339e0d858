// Package syntax holds the grammar of HTTP fields and a transport that refuses responses which break it.
//
// What a server may not send proves nothing, neither a success nor that a request has not run: the peer is in trouble, or
// has lost its place in the stream.
package syntax
