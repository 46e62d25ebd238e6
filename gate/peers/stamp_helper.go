package peers

import (
	"encoding/json"
	"strconv"

	"github.com/sourcegraph/jsonrpc2"

	"mangowing/core/event"
)

const (
	stampBase = 10
	stampBits = 64
)

// stampSent puts this gate's clock into the metadata of a message that goes out.
func (n *Network) stampSent(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	meta := json.RawMessage(strconv.AppendUint(nil, uint64(n.clock.Now()), stampBase))
	switch {
	case resp != nil:
		resp.Meta = &meta
	case req != nil:
		req.Meta = &meta
	}
}

// observeReceived makes later stamps follow the one of a message that came in; an answer comes with its request.
func (n *Network) observeReceived(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	switch {
	case resp != nil:
		n.observe(resp.Meta)
	case req != nil:
		n.observe(req.Meta)
	}
}

func (n *Network) observe(meta *json.RawMessage) {
	if meta == nil {
		return
	}
	stamp, err := strconv.ParseUint(string(*meta), stampBase, stampBits)
	if err == nil {
		n.clock.Observe(event.Timestamp(stamp))
	}
}
