package peers

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/gate/guard"
)

// ErrRefused means that the address refused the connection, so no process listens there.
var ErrRefused = eris.New("connection refused")

// ErrNoAnswer means that no answer was received. The call may have taken effect.
var ErrNoAnswer = eris.New("no answer")

const dialTimeout = 700 * time.Millisecond

// Handler handles the calls of one method. The caller receives the code of a *codes.Error.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// callSafely calls the handler and turns a panic into an error, so that only this call fails.
func (h Handler) callSafely(ctx context.Context, method string, params json.RawMessage) (result any, err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = eris.Errorf("%s: %v", method, panicValue)
			klog.ErrorS(err, "handler-panicked", "method", method, "stack", string(debug.Stack()))
		}
	}()
	return h(ctx, params)
}

// Network carries calls between gates. It keeps one outgoing connection for each address.
type Network struct {
	address  string
	tls      *tls.Config
	clock    *event.Clock
	mu       sync.Mutex
	handlers map[string]Handler
	outgoing map[string]*outgoingConn
	incoming map[*jsonrpc2.Conn]bool
	traffic  traffic
	guard    *guard.Guard
	requests requestSlots
}

type outgoingConn struct {
	mu           sync.Mutex
	conn         *jsonrpc2.Conn
	lastReceived *receiveTime
}

// NewNetwork returns a network that listens on the address and adds the clock's timestamps to messages. Connections are
// unencrypted if tlsConfig is nil.
func NewNetwork(address string, tlsConfig *tls.Config, clock *event.Clock) *Network {
	return &Network{
		address:  address,
		tls:      tlsConfig,
		clock:    clock,
		handlers: map[string]Handler{},
		outgoing: map[string]*outgoingConn{},
		incoming: map[*jsonrpc2.Conn]bool{},
		requests: newRequestSlots(),
	}
}

// Protect bounds incoming connections by the guard. It must be called before Serve.
func (n *Network) Protect(g *guard.Guard) { n.guard = g }

// Handle registers the handler of a method. It must be called before Serve.
func (n *Network) Handle(method string, h Handler) { n.handlers[method] = h }

// Bytes returns how many bytes the gate received from and sent to other gates.
func (n *Network) Bytes() (received, sent uint64) {
	return n.traffic.received.Load(), n.traffic.sent.Load()
}

// Serve accepts connections until the context ends.
func (n *Network) Serve(ctx context.Context) error {
	listener, err := n.listen()
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			n.closeAll()
			return ctx.Err()
		}
		if err != nil {
			return eris.Wrap(err, "accept a peer")
		}
		n.accept(ctx, conn)
	}
}

func (n *Network) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", n.address)
	if err != nil {
		return nil, err
	}
	if n.guard != nil {
		listener = n.guard.Listen(listener)
	}
	if n.tls != nil {
		listener = tls.NewListener(listener, n.tls)
	}
	return listener, nil
}

func (n *Network) accept(ctx context.Context, conn net.Conn) {
	inner := conn
	if encrypted, ok := conn.(*tls.Conn); ok {
		inner = encrypted.NetConn()
	}
	finishMessage := func() {}
	if guarded, ok := inner.(*guard.Conn); ok {
		finishMessage = guarded.FinishMessage
	}
	rpc := n.newRPCConn(ctx, n.traffic.wrap(conn), finishMessage)
	n.mu.Lock()
	n.incoming[rpc] = true
	n.mu.Unlock()
	context.AfterFunc(connContext(rpc), func() {
		n.mu.Lock()
		delete(n.incoming, rpc)
		n.mu.Unlock()
	})
}

// newRPCConn starts to serve the connection. finishMessage is called once a message was read and the memory that it takes is bounded otherwise.
func (n *Network) newRPCConn(ctx context.Context, conn net.Conn, finishMessage func()) *jsonrpc2.Conn {
	finishResponse := func(_ *jsonrpc2.Request, resp *jsonrpc2.Response) {
		if resp != nil {
			finishMessage()
		}
	}
	return jsonrpc2.NewConn(ctx, newObjectStream(conn), newRPCHandler(n, finishMessage), withoutLogging(),
		jsonrpc2.OnSend(n.addTimestamp), jsonrpc2.OnRecv(n.observeMessage), jsonrpc2.OnRecv(finishResponse))
}

// connContext returns a context that is cancelled when the connection closes.
func connContext(rpc *jsonrpc2.Conn) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-rpc.DisconnectNotify()
		cancel()
	}()
	return ctx
}

func (n *Network) closeAll() {
	n.mu.Lock()
	for rpc := range n.incoming {
		_ = rpc.Close()
	}
	outgoing := slices.Collect(maps.Values(n.outgoing))
	n.mu.Unlock()
	// A connection's lock is held while it is dialled, for up to dialTimeout.
	for _, c := range outgoing {
		c.mu.Lock()
		if c.conn != nil {
			_ = c.conn.Close()
		}
		c.mu.Unlock()
	}
}

type rpcHandler struct {
	n             *Network
	finishMessage func()
}

func newRPCHandler(n *Network, finishMessage func()) jsonrpc2.Handler {
	return rpcHandler{n, finishMessage}
}

// Handle handles one request of another gate in the background. While too many are being handled, it waits.
func (h rpcHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	release := h.n.requests.acquire(req)
	h.finishMessage()
	go func() {
		defer release()
		h.handle(ctx, conn, req)
	}()
}

func (h rpcHandler) handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	handle, ok := h.n.handlers[req.Method]
	if !ok {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method})
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := handle.callSafely(ctx, req.Method, params)
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, toWireError(err))
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

func toWireError(err error) *jsonrpc2.Error {
	var coded *codes.Error
	if errors.As(err, &coded) {
		return &jsonrpc2.Error{Code: int64(coded.Code()), Message: coded.Detail()}
	}
	return &jsonrpc2.Error{Code: int64(codes.Internal), Message: err.Error()}
}

// Call sends a request to the gate at the address and decodes its result. The error wraps ErrRefused or ErrNoAnswer, or it is
// the *codes.Error that the gate answered.
func (n *Network) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := n.connect(ctx, address)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	var answered *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &answered):
		return fromWireError(answered)
	default:
		return eris.Wrap(ErrNoAnswer, method)
	}
}

func fromWireError(e *jsonrpc2.Error) error {
	if e.Code <= 0 {
		return codes.Errorf(codes.Internal, "%s", e.Message)
	}
	return codes.Errorf(codes.Code(e.Code), "%s", e.Message)
}

func (n *Network) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c := n.outgoingTo(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
			c.conn = nil
		default:
			return c.conn, nil
		}
	}
	conn, err := n.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	counted := n.traffic.wrap(conn)
	c.conn, c.lastReceived = n.newRPCConn(context.Background(), counted, func() {}), counted.lastReceived
	return c.conn, nil
}

func (n *Network) outgoingTo(address string) *outgoingConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.outgoing[address]
	if !ok {
		c = &outgoingConn{}
		n.outgoing[address] = c
	}
	return c
}

func (n *Network) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := &net.Dialer{}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, eris.Wrap(ErrRefused, address)
	}
	if err != nil {
		return nil, eris.Wrap(ErrNoAnswer, address)
	}
	if n.tls == nil {
		return raw, nil
	}
	conn := tls.Client(raw, n.tlsConfigFor(address))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		klog.ErrorS(err, "peer-handshake-failed", "address", address)
		return nil, eris.Wrap(ErrNoAnswer, address)
	}
	return conn, nil
}

// tlsConfigFor returns the configuration for a connection to the address, whose certificate must be for its IP address.
func (n *Network) tlsConfigFor(address string) *tls.Config {
	cfg := n.tls.Clone()
	cfg.ServerName, _, _ = net.SplitHostPort(address)
	return cfg
}

// DropIfIdle closes the connection to the address if nothing was received over it for at least minIdle: it may be dead, and
// the next call opens a new one. A connection that received answers to other calls meanwhile is kept.
func (n *Network) DropIfIdle(address string, minIdle time.Duration) {
	c := n.outgoingTo(address)
	c.mu.Lock()
	lastReceived := c.lastReceived
	c.mu.Unlock()
	if lastReceived != nil && lastReceived.elapsed() >= minIdle {
		n.Drop(address)
	}
}

// Drop closes the connection to the address, so that the next call opens a new one.
func (n *Network) Drop(address string) {
	c := n.outgoingTo(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

type discardLogger struct{}

// Printf discards the library's messages. Callers log the errors.
func (discardLogger) Printf(string, ...any) {}

func withoutLogging() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(discardLogger{}) }
