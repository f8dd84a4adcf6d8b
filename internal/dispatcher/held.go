package dispatcher

import (
	"context"
	"net/http"
	"net/url"
)

// Held returns the ids of the programs for which an engine holds memory.
func (d *Dispatcher) Held(ctx context.Context, address string) ([]string, error) {
	var programs []string
	err := d.doEngineRequest(ctx, http.MethodGet, "http://"+address+"/v1/held", nil, &programs)
	return programs, err
}

// Release makes an engine free the memory that it holds for a program.
func (d *Dispatcher) Release(ctx context.Context, address, program string) error {
	return d.doEngineRequest(ctx, http.MethodDelete, "http://"+address+"/v1/held/"+url.PathEscape(program), nil, nil)
}
