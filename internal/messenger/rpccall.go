package messenger

import (
	"net/rpc"

	"pimentorail.example/pimentorail/internal/supervisor"
)

// rpcCall is one call of a session. It implements rpc.ServerCodec for this call only.
type rpcCall struct {
	session *rpcSession
	// read is set once the request was read and the next call reads.
	read   bool
	method string
	seq    uint64
	// answered is set once a response is being written.
	answered bool
}

func (c *rpcCall) run() {
	defer c.session.calls.Done()
	defer c.recover()
	// The error is that of the connection, or of a request that got a response.
	_ = c.session.server.ServeRequest(c)
}

// recover answers a call whose method panicked with an error. The call may have been executed.
func (c *rpcCall) recover() {
	v := recover()
	if v == nil {
		return
	}
	err := supervisor.Report("messenger: call of "+c.method, v)
	if !c.read || c.answered {
		_ = c.session.conn.Close() // The panic is one of the codec, which can't go on.
		return
	}
	_ = c.session.write(&rpc.Response{ServiceMethod: c.method, Seq: c.seq, Error: err.Error()}, struct{}{})
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *rpcCall) ReadRequestHeader(r *rpc.Request) error {
	err := c.session.decoder.Decode(r)
	c.method, c.seq = r.ServiceMethod, r.Seq
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *rpcCall) ReadRequestBody(body any) error {
	err := c.session.decoder.Decode(body)
	c.read = true
	c.session.next()
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *rpcCall) WriteResponse(r *rpc.Response, body any) error {
	c.answered = true
	return c.session.write(r, body)
}

// Close implements rpc.ServerCodec; the connection is closed by its server.
func (c *rpcCall) Close() error { return nil }
