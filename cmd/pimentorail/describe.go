package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"pimentorail.example/pimentorail/internal/configurer"
)

// describe shows an edit without key hashes: what is new, what goes, and which fields change.
func describe(e configurer.Edit) string {
	e = e.Mask()
	switch {
	case e.From == nil:
		return "+ " + e.Key
	case e.To == nil:
		return "- " + e.Key
	}
	return "~ " + e.Key + ": " + strings.Join(changedFields(e.From, e.To), "; ")
}

// changedFields returns a line for each field whose value differs.
func changedFields(from, to json.RawMessage) []string {
	var x, y map[string]json.RawMessage
	if json.Unmarshal(from, &x) != nil || json.Unmarshal(to, &y) != nil {
		return []string{string(from) + " → " + string(to)}
	}
	var lines []string
	for k, v := range x {
		if !bytes.Equal(v, y[k]) {
			lines = append(lines, fmt.Sprintf("%s %s → %s", k, v, orAbsent(y[k])))
		}
	}
	for k, v := range y {
		if _, ok := x[k]; !ok {
			lines = append(lines, fmt.Sprintf("%s absent → %s", k, v))
		}
	}
	slices.Sort(lines)
	return lines
}

func orAbsent(v json.RawMessage) string {
	if v == nil {
		return "absent"
	}
	return string(v)
}
