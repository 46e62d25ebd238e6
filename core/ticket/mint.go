package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
	"time"
)

const (
	separator  = "~"
	secretSize = 32
	macSize    = 16
	numberBase = 36
)

// issue is what a ticket says: who minted it, when, and the proof.
type issue struct {
	incarnation string
	mintedMs    int64
	nonce       string
	mac         string
}

func parse(ticket string) (issue, bool) {
	parts := strings.Split(ticket, separator)
	if len(parts) != 4 || parts[0] == "" {
		return issue{}, false
	}
	ms, err := strconv.ParseInt(parts[1], numberBase, 64)
	return issue{parts[0], ms, parts[2], parts[3]}, err == nil
}

func (i issue) signed(secret []byte) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(i.incarnation + separator + strconv.FormatInt(i.mintedMs, numberBase) + separator + i.nonce))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macSize])
}

func (i issue) genuine(secret []byte) bool {
	return hmac.Equal([]byte(i.mac), []byte(i.signed(secret)))
}

func (i issue) String() string {
	return strings.Join([]string{i.incarnation, strconv.FormatInt(i.mintedMs, numberBase), i.nonce, i.mac}, separator)
}

// Issuer returns the incarnation that minted the ticket, false for a text that is no ticket.
func Issuer(ticket string) (incarnation string, ok bool) {
	i, ok := parse(ticket)
	return i.incarnation, ok
}

// Mint returns a fresh ticket that names this incarnation and can't be guessed.
func (r *Registry) Mint(now time.Time) string {
	i := issue{incarnation: r.incarnation, mintedMs: now.UnixMilli(), nonce: rand.Text()}
	i.mac = i.signed(r.own.Secret)
	return i.String()
}

func newSecret() []byte {
	secret := make([]byte, secretSize)
	_, _ = rand.Read(secret)
	return secret
}
