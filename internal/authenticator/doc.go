// Package authenticator decides for which client account a request runs.
//
// A client proves its account by a key. A Credential is what a request says of it; it holds the
// digest of the key, so that the key itself goes no further than the decoder of the request.
package authenticator
