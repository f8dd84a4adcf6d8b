// Package screener bounds the memory that clients cost before their requests are known, over all
// connections and listeners of a process together.
//
// The limit of one head bounds its bytes, but not what they become: a header field of five bytes
// takes over a hundred when it is decoded, and any number of clients may send heads at the same time. A
// Screener therefore counts the bytes and lines of each head while it arrives. A usual head costs
// nothing. What is beyond that comes from one budget, and a client whose head doesn't fit is refused
// with 503, which is true since its request has not been read. A single head within the limits fits
// in calm.
//
// The number of connections is bounded as well. Beyond it, the connection closes that has waited
// for a request for longest, so that clients which hold connections can't keep others out.
package screener
