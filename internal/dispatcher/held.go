package dispatcher

import (
	"context"
	"net/http"
	"net/url"
)

// HeldPrograms returns the ids of the programs for which an engine holds memory.
func (d *Dispatcher) HeldPrograms(ctx context.Context, address string) ([]string, error) {
	var programs []string
	err := d.doEngineRequest(ctx, http.MethodGet, "http://"+address+"/v1/held", nil, &programs)
	return programs, err
}

// ReleaseProgram makes an engine free the memory that it holds for a program.
func (d *Dispatcher) ReleaseProgram(ctx context.Context, address, program string) error {
	return d.doEngineRequest(ctx, http.MethodDelete, "http://"+address+"/v1/held/"+url.PathEscape(program), nil, nil)
}
