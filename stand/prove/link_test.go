package prove

import (
	"io"
	"net"
	"sync"

	"gotest.tools/v3/assert"
)

// link is a TCP proxy from a gate to the platform or to a gate of another data centre. While it is disconnected, its
// connections stay open but transfer nothing, as in a network partition.
type link struct {
	mu           sync.Mutex
	gate         string
	from, to     string
	listener     net.Listener
	target       string
	disconnected chan struct{}
	reconnected  chan struct{}
}

func (f *fleet) newLink(from *gateProcess, to, target string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	k := &link{gate: from.name, from: from.dataCentre, to: to, listener: l, target: target, disconnected: make(chan struct{}), reconnected: make(chan struct{})}
	close(k.reconnected)
	f.links = append(f.links, k)
	go k.serve()
	return l.Addr().String()
}

func (k *link) serve() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		disconnected, reconnected := k.channels()
		go k.forward(conn, disconnected, reconnected)
	}
}

func (k *link) channels() (disconnected, reconnected chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.disconnected, k.reconnected
}

func (k *link) forward(conn net.Conn, disconnected, reconnected chan struct{}) {
	defer func() { _ = conn.Close() }()
	select {
	case <-disconnected:
		<-reconnected
		return
	default:
	}
	targetConn, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = targetConn.Close() }()
	ended := make(chan struct{}, 2)
	copyUntil := func(dst io.Writer, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			select {
			case <-disconnected:
				_, reconnected := k.channels()
				<-reconnected
				ended <- struct{}{}
				return
			default:
			}
			if _, werr := dst.Write(buffer[:n]); err != nil || werr != nil {
				ended <- struct{}{}
				return
			}
		}
	}
	go copyUntil(targetConn, conn)
	go copyUntil(conn, targetConn)
	<-ended
}

func (k *link) close() { _ = k.listener.Close() }

func (k *link) disconnect() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reconnected = make(chan struct{})
	close(k.disconnected)
}

func (k *link) reconnect() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.disconnected = make(chan struct{})
	close(k.reconnected)
}

// disconnectDataCentre cuts a data centre's connections to all others and to the platform.
func (f *fleet) disconnectDataCentre(dataCentre string) {
	for _, k := range f.links {
		if k.from == dataCentre || k.to == dataCentre {
			k.disconnect()
		}
	}
}

// reconnectDataCentre reverts disconnectDataCentre. Connections that were open during the cut transfer nothing more and
// close.
func (f *fleet) reconnectDataCentre(dataCentre string) {
	for _, k := range f.links {
		if k.from == dataCentre || k.to == dataCentre {
			k.reconnect()
		}
	}
}

// disconnectPlatform cuts one gate's connections to the platform.
func (f *fleet) disconnectPlatform(g *gateProcess) {
	for _, k := range f.links {
		if k.gate == g.name && k.to == "platform" {
			k.disconnect()
		}
	}
}
