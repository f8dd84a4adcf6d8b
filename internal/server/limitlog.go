package server

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"pimentorail.example/pimentorail/internal/cataloger"
)

// maxNamedLimits bounds the changes of limits that a line names.
const maxNamedLimits = 8

// logLimits logs how many accounts have a limit, and which limits a version of the configuration changed: the
// largest changes of the rate first.
func (c *configSink) logLimits(before, next *cataloger.Catalog) {
	old, limits := before.RateLimits(), next.RateLimits()
	if len(old)+len(limits) == 0 {
		return
	}
	type change struct {
		text string
		by   float64
	}
	var changes []change
	lowered, raised := 0, 0
	for name, l := range limits {
		b, had := old[name]
		switch {
		case !had || l == b:
			continue
		case l.Rate() < b.Rate() || l.Burst() < b.Burst():
			lowered++
		default:
			raised++
		}
		changes = append(changes, change{text: fmt.Sprintf("%s:%v->%v", name, b, l), by: max(l.Rate(), b.Rate()) / min(l.Rate(), b.Rate())})
	}
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(-cmp.Compare(a.by, b.by), cmp.Compare(a.text, b.text))
	})
	var named []string
	for _, x := range changes[:min(len(changes), maxNamedLimits)] {
		named = append(named, x.text)
	}
	c.logger.Event("server", "account limits").Uint("version", next.Version()).Int("limited", len(limits)).Int("lowered", lowered).Int("raised", raised).
		Str("changes", strings.Join(named, " ")).End()
}
