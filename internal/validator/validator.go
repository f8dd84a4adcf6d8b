package validator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

const maxValueBytes = 80

// Validator validates documents against one schema.
type Validator struct {
	schema  *jsonschema.Schema
	printer *message.Printer
}

// New compiles a JSON schema. The name identifies it in errors.
func New(name string, schema []byte) (*Validator, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, errors.Wrapf(err, "schema %s", name)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		return nil, errors.Wrapf(err, "schema %s", name)
	}
	s, err := c.Compile(name)
	if err != nil {
		return nil, errors.Wrapf(err, "schema %s", name)
	}
	return &Validator{schema: s, printer: message.NewPrinter(language.English)}, nil
}

// Must is like New but panics on an error. It is meant for embedded schemas.
func Must(name string, schema []byte) *Validator {
	v, err := New(name, schema)
	if err != nil {
		panic(err)
	}
	return v
}

// Decode validates one JSON document and decodes it into out. If the document is not
// valid, the error is a Faults with all faults found.
func (v *Validator) Decode(data []byte, out any) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Faults{{Path: "/", Value: truncate(string(data)), Allowed: "one JSON document: " + err.Error()}}
	}
	if err := v.schema.Validate(doc); err != nil {
		var ve *jsonschema.ValidationError
		if errors.As(err, &ve) {
			return v.faults(doc, ve)
		}
		return errors.Wrap(err, "validate")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return Faults{{Path: "/", Value: truncate(string(data)), Allowed: err.Error()}}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Faults{{Path: "/", Value: "", Allowed: "one JSON document"}}
	}
	return nil
}

func (v *Validator) faults(doc any, root *jsonschema.ValidationError) Faults {
	var list Faults
	v.appendFaults(doc, root, &list)
	sort.SliceStable(list, func(i, j int) bool { return list[i].Path < list[j].Path })
	return list
}

func (v *Validator) appendFaults(doc any, e *jsonschema.ValidationError, list *Faults) {
	if len(e.Causes) == 0 {
		*list = append(*list, Fault{
			Path:    "/" + strings.Join(e.InstanceLocation, "/"),
			Value:   valueAt(doc, e.InstanceLocation),
			Allowed: e.ErrorKind.LocalizedString(v.printer),
		})
		return
	}
	for _, c := range e.Causes {
		v.appendFaults(doc, c, list)
	}
}

// valueAt returns the value at a path as JSON, truncated if it is long.
func valueAt(doc any, path []string) string {
	for _, p := range path {
		switch d := doc.(type) {
		case map[string]any:
			doc = d[p]
		case []any:
			i, err := strconv.Atoi(p)
			if err != nil || i < 0 || i >= len(d) {
				return ""
			}
			doc = d[i]
		}
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return fmt.Sprint(doc)
	}
	return truncate(string(data))
}

func truncate(s string) string {
	if len(s) <= maxValueBytes {
		return s
	}
	return s[:maxValueBytes] + "…"
}
