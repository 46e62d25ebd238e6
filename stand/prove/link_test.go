package prove

import (
	"io"
	"net"
	"sync"

	"gotest.tools/v3/assert"
)

// link forwards a gate's connections to another data centre or to the platform; a cut one stays silent.
type link struct {
	mu       sync.Mutex
	gate     string
	from, to string
	listener net.Listener
	target   string
	cut      chan struct{}
	healed   chan struct{}
}

func (f *fleet) newLink(from *gateProcess, to, target string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	k := &link{gate: from.name, from: from.dataCentre, to: to, listener: l, target: target, cut: make(chan struct{}), healed: make(chan struct{})}
	close(k.healed)
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
		cut, healed := k.state()
		go k.forward(conn, cut, healed)
	}
}

func (k *link) state() (cut, healed chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut, k.healed
}

func (k *link) forward(conn net.Conn, cut, healed chan struct{}) {
	defer func() { _ = conn.Close() }()
	select {
	case <-cut:
		<-healed
		return
	default:
	}
	far, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	ended := make(chan struct{}, 2)
	copyUntil := func(dst io.Writer, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			select {
			case <-cut:
				_, healed := k.state()
				<-healed
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
	go copyUntil(far, conn)
	go copyUntil(conn, far)
	<-ended
}

func (k *link) close() { _ = k.listener.Close() }

func (k *link) sever() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
	close(k.cut)
}

func (k *link) mend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = make(chan struct{})
	close(k.healed)
}

// cutOff separates a data centre from all others and from the platform.
func (f *fleet) cutOff(dataCentre string) {
	for _, k := range f.links {
		if k.from == dataCentre || k.to == dataCentre {
			k.sever()
		}
	}
}

// heal ends a cut.
func (f *fleet) heal(dataCentre string) {
	for _, k := range f.links {
		if k.from == dataCentre || k.to == dataCentre {
			k.mend()
		}
	}
}

// cutPlatform separates one gate from the platform.
func (f *fleet) cutPlatform(g *gateProcess) {
	for _, k := range f.links {
		if k.gate == g.name && k.to == "platform" {
			k.sever()
		}
	}
}
