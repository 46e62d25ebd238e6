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

func (i ticketFields) computeMAC(secret []byte) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(i.incarnation + separator + strconv.FormatInt(i.mintedMs, numberBase) + separator + i.nonce))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macSize])
}

func (i ticketFields) hasValidMAC(secret []byte) bool {
	return hmac.Equal([]byte(i.mac), []byte(i.computeMAC(secret)))
}

func (i ticketFields) String() string {
	return strings.Join([]string{i.incarnation, strconv.FormatInt(i.mintedMs, numberBase), i.nonce, i.mac}, separator)
}

// Issuer returns the incarnation that minted the ticket; ok is false for a text that is not a ticket. The MAC is not checked.
func Issuer(ticket string) (incarnation string, ok bool) {
	i, ok := parseTicket(ticket)
	return i.incarnation, ok
}

// Mint returns a new, unguessable ticket issued by this incarnation.
func (r *Registry) Mint(now time.Time) string {
	i := ticketFields{incarnation: r.incarnation, mintedMs: now.UnixMilli(), nonce: rand.Text()}
	i.mac = i.computeMAC(r.ownAuthority.Secret)
	return i.String()
}

func newSecret() []byte {
	secret := make([]byte, secretSize)
	_, _ = rand.Read(secret)
	return secret
}
