package dispatcher

import (
	"context"
	"net/http"
	"net/url"
)

// Held returns the programs whose memory an engine holds.
func (d *Dispatcher) Held(ctx context.Context, address string) ([]string, error) {
	var names []string
	err := d.engine(ctx, http.MethodGet, "http://"+address+"/v1/held", nil, &names)
	return names, err
}

// Release lets an engine drop the memory held for a program.
func (d *Dispatcher) Release(ctx context.Context, address, program string) error {
	return d.engine(ctx, http.MethodDelete, "http://"+address+"/v1/held/"+url.PathEscape(program), nil, nil)
}
