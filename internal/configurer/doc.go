// Package configurer stores declarations and keeps them in force on every daemon.
//
// Apply makes declarations the next version by compare-and-swap on a single head row. It
// writes only the objects that changed and one change row per version, which is also the
// audit trail. Each daemon's Watcher follows the head, applies versions in order and
// never goes back to an older one. While the store is unavailable, the Watcher asks
// peers. Confirmed reports whether the store or a peer has confirmed the head recently.
package configurer
