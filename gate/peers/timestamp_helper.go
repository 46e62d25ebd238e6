package peers

import (
	"encoding/json"
	"strconv"

	"github.com/sourcegraph/jsonrpc2"

	"mangowing/core/event"
)

const (
	timestampBase = 10
	timestampBits = 64
)

// addTimestamp sets the metadata of an outgoing message to the time of this gate's clock.
func (n *Network) addTimestamp(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	meta := json.RawMessage(strconv.AppendUint(nil, uint64(n.clock.Now()), timestampBase))
	switch {
	case resp != nil:
		resp.Meta = &meta
	case req != nil:
		req.Meta = &meta
	}
}

// observeMessage advances this gate's clock past the timestamp of an incoming message. For an answer, req is the request that
// it belongs to.
func (n *Network) observeMessage(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	switch {
	case resp != nil:
		n.observeTimestamp(resp.Meta)
	case req != nil:
		n.observeTimestamp(req.Meta)
	}
}

func (n *Network) observeTimestamp(meta *json.RawMessage) {
	if meta == nil {
		return
	}
	timestamp, err := strconv.ParseUint(string(*meta), timestampBase, timestampBits)
	if err == nil {
		n.clock.Observe(event.Timestamp(timestamp))
	}
}
