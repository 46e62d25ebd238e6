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

// ticketFields are the parts of a ticket: the incarnation that minted it, the time, a nonce and a MAC over these.
type ticketFields struct {
	incarnation string
	mintedMs    int64
	nonce       string
	mac         string
}

func parseTicket(ticket string) (ticketFields, bool) {
	parts := strings.Split(ticket, separator)
	if len(parts) != 4 || parts[0] == "" {
		return ticketFields{}, false
	}
	ms, err := strconv.ParseInt(parts[1], numberBase, 64)
	return ticketFields{parts[0], ms, parts[2], parts[3]}, err == nil
}

func (f ticketFields) computeMAC(secret []byte) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(f.incarnation + separator + strconv.FormatInt(f.mintedMs, numberBase) + separator + f.nonce))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macSize])
}

func (f ticketFields) hasValidMAC(secret []byte) bool {
	return hmac.Equal([]byte(f.mac), []byte(f.computeMAC(secret)))
}

func (f ticketFields) String() string {
	return strings.Join([]string{f.incarnation, strconv.FormatInt(f.mintedMs, numberBase), f.nonce, f.mac}, separator)
}

// Issuer returns the incarnation that minted the ticket; ok is false for a text that is not a ticket. The MAC is not checked.
func Issuer(ticket string) (incarnation string, ok bool) {
	fields, ok := parseTicket(ticket)
	return fields.incarnation, ok
}

// Mint returns a new ticket of this incarnation, which can't be guessed.
func (r *Registry) Mint(now time.Time) string {
	fields := ticketFields{incarnation: r.incarnation, mintedMs: now.UnixMilli(), nonce: rand.Text()}
	fields.mac = fields.computeMAC(r.ownAuthority.Secret)
	return fields.String()
}

func newSecret() []byte {
	secret := make([]byte, secretSize)
	_, _ = rand.Read(secret)
	return secret
}
