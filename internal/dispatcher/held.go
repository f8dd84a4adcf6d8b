package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
)

const maxHeldBytes = 16 << 20

// Held returns the programs whose memory an engine holds.
func (d *Dispatcher) Held(ctx context.Context, address string) ([]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/held", nil)
	if err != nil {
		return nil, errors.Wrap(err, "held")
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "held")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("held: status %d", resp.StatusCode)
	}
	var names []string
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHeldBytes)).Decode(&names)
	return names, errors.Wrap(err, "held")
}

// Release lets an engine drop the memory held for a program.
func (d *Dispatcher) Release(ctx context.Context, address, program string) error {
	target := "http://" + address + "/v1/held/" + url.PathEscape(program)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return errors.Wrap(err, "release")
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "release")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("release: status %d", resp.StatusCode)
	}
	return nil
}
