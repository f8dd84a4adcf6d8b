package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/controller"
)

const maxStateBytes = 16 << 20

// State returns an engine's role and what it has loaded.
func (d *Dispatcher) State(ctx context.Context, address string) (controller.State, error) {
	var s controller.State
	err := d.engine(ctx, http.MethodGet, "http://"+address+"/v1/state", nil, &s)
	return s, err
}

// Order sends an engine an order, or fails with controller.ErrOldFence.
func (d *Dispatcher) Order(ctx context.Context, address string, o controller.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	return d.engine(ctx, http.MethodPost, "http://"+address+"/v1/orders", body, nil)
}

// engine makes a small request to an engine and decodes its answer.
func (d *Dispatcher) engine(ctx context.Context, method, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, url)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return controller.ErrOldFence
	case resp.StatusCode != http.StatusOK:
		return errors.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	case out == nil:
		return nil
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(out), "%s %s", method, url)
}
