package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target. While it is cut, no byte passes and nothing is answered; what was sent
// meanwhile is lost, and connections from before or within the cut end when it heals.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	open     map[net.Conn]bool
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &proxy{listener: listener, target: target, open: map[net.Conn]bool{}}
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		p.closeAll()
	}
}

// reset ends all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

func (p *proxy) closeAll() {
	for c := range p.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	p.open = map[net.Conn]bool{}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	p.mu.Lock()
	p.open[c] = true
	cut := p.cut
	p.mu.Unlock()
	if cut {
		return
	}
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.open[target] = true
	p.mu.Unlock()
	go p.pipe(target, c)
	go p.pipe(c, target)
}

func (p *proxy) pipe(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.isCut() {
			return // the bytes are lost; the connection is closed when the cut heals
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	p.mu.Lock()
	delete(p.open, from)
	delete(p.open, to)
	p.mu.Unlock()
}
