// Package versioner records at which software version of its replica each resumable stream
// began, so that the stream goes on only there.
//
// Replicas of several versions may serve a service side by side, and what two of them
// generate does not fit together. A client that resumes a stream may reach another daemon,
// after all daemons have lost their memory, so the origin of each stream is a row of the
// store. It is written when the first event arrives, in a group commit, and the event does
// not wait for it: a stream without a record is not resumed. To which process the event's
// connection leads may not be known for certain then. The row says what is known, and the daemon
// that resumes the stream settles it (Origin.Settle): that one can wait and ask, and few streams
// are resumed. That makes a record that is lost or overwritten harmless, and lets the rows be a
// table of fixed size: the row of a stream is chosen by its hash, and a newer stream with the same
// row replaces it. Nothing has to be deleted.
package versioner
