package declarer

import (
	_ "embed" // For go:embed.
	"fmt"
	"slices"

	"pimentorail.example/pimentorail/internal/validator"
)

//go:embed schema.json
var schemaJSON []byte

var documentValidator = validator.Must("declarations.json", schemaJSON)

// Schema returns the JSON schema of declarations.
func Schema() []byte { return slices.Clone(schemaJSON) }

// Parse validates and decodes declarations. If they are not valid, the error is a
// validator.Faults.
func Parse(data []byte) (*Declarations, error) {
	var d Declarations
	if err := documentValidator.Decode(data, &d); err != nil {
		return nil, err
	}
	if faults := d.Validate(); len(faults) > 0 {
		return nil, faults
	}
	return &d, nil
}

// Validate returns the faults that a schema cannot express: duplicate names and keys,
// unknown targets, a window limit below the window, services without a timeout.
func (d *Declarations) Validate() validator.Faults {
	var list validator.Faults
	targets := map[string]bool{}
	for i, t := range d.Targets {
		path := fmt.Sprintf("/targets/%d", i)
		if targets[t.Name] {
			list = append(list, validator.Fault{Path: path + "/name", Value: quote(t.Name), Allowed: "a name that no other target has"})
		}
		targets[t.Name] = true
		list = append(list, t.check(path)...)
	}
	accounts, keys := map[string]bool{}, map[string]bool{}
	for i, a := range d.Accounts {
		path := fmt.Sprintf("/accounts/%d", i)
		if accounts[a.Name] {
			list = append(list, validator.Fault{Path: path + "/name", Value: quote(a.Name), Allowed: "a name that no other account has"})
		}
		if keys[a.KeyHash] {
			list = append(list, validator.Fault{Path: path + "/key-sha256", Value: "(hidden)", Allowed: "a key that no other account has"})
		}
		accounts[a.Name], keys[a.KeyHash] = true, true
		for j, t := range a.Targets {
			if !targets[t] {
				list = append(list, validator.Fault{Path: fmt.Sprintf("%s/targets/%d", path, j), Value: quote(t), Allowed: "the name of a declared target"})
			}
		}
	}
	return list
}

func (t *Target) check(path string) validator.Faults {
	var list validator.Faults
	if t.WindowLimit < t.Window {
		list = append(list, validator.Fault{Path: path + "/window-limit", Value: fmt.Sprint(t.WindowLimit), Allowed: fmt.Sprintf("at least the window, %d", t.Window)})
	}
	if t.Kind == Service && t.TimeoutMS == 0 {
		list = append(list, validator.Fault{Path: path + "/timeout-ms", Value: "absent", Allowed: "a timeout, which a service requires"})
	}
	names := map[string]bool{}
	for j, r := range t.Replicas {
		if names[r.Name] {
			list = append(list, validator.Fault{Path: fmt.Sprintf("%s/replicas/%d/name", path, j), Value: quote(r.Name), Allowed: "a name that no other replica of the target has"})
		}
		names[r.Name] = true
	}
	return list
}

func quote(s string) string { return fmt.Sprintf("%q", s) }
