package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"pimentorail.example/pimentorail/internal/configurer"
)

// describe formats an edit as one line: an added key, a removed key, or the fields that
// change. It masks key hashes.
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

// changedFields describes each field whose value differs, in order of the fields' names.
func changedFields(from, to json.RawMessage) []string {
	var old, changed map[string]json.RawMessage
	if json.Unmarshal(from, &old) != nil || json.Unmarshal(to, &changed) != nil {
		return []string{string(from) + " → " + string(to)}
	}
	var lines []string
	for k, v := range old {
		if !bytes.Equal(v, changed[k]) {
			lines = append(lines, fmt.Sprintf("%s %s → %s", k, v, valueOrAbsent(changed[k])))
		}
	}
	for k, v := range changed {
		if _, ok := old[k]; !ok {
			lines = append(lines, fmt.Sprintf("%s absent → %s", k, v))
		}
	}
	slices.Sort(lines)
	return lines
}

func valueOrAbsent(v json.RawMessage) string {
	if v == nil {
		return "absent"
	}
	return string(v)
}
