package relayer

import "time"

// Contact is the contact with the registry, without its clock.
type Contact = contact

// Read records a read of the registry.
func (c *contact) Read(now time.Time, direct bool) { c.read(now, direct) }

// Lose records a failed read.
func (c *contact) Lose() { c.lose() }

// Reply returns what a peer is told.
func (c *contact) Reply(now time.Time) ContactReply { return c.reply(now) }

// ConfirmsRegistry decides by the replies of peers, which all arrive at a time.
func ConfirmsRegistry(replies []ContactReply, at, begin, end time.Time) bool {
	var list []contactAnswer
	for _, r := range replies {
		list = append(list, contactAnswer{reply: r, askedAt: at, answeredAt: at})
	}
	return confirmsRegistry(list, begin, end)
}
