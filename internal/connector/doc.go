// Package connector keeps HTTP/1.1 connections to replicas and sends single
// requests on them.
//
// It never repeats a request by itself. An Error says whether a byte of the
// request can have reached the replica. An answer counts only if the caller
// recognises it as its own; a late answer to an earlier request is skipped. A
// connection is used again only after a whole exchange with nothing left over.
package connector
