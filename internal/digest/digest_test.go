package digest_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/digest"
)

func request() digest.Request {
	return digest.Request{Team: "red", Method: "POST", Host: "h.example", URI: "/a/b", Body: []byte("body")}
}

func TestDigestIdentifiesWork(t *testing.T) {
	is := is.New(t)
	is.Equal(digest.Of(request()), digest.Of(request()))
	seen := map[digest.Digest]bool{digest.Of(request()): true}
	for _, change := range []func(*digest.Request){
		func(r *digest.Request) { r.Team = "blue" },
		func(r *digest.Request) { r.Method = "PUT" },
		func(r *digest.Request) { r.Host = "g.example" },
		func(r *digest.Request) { r.URI = "/a/c" },
		func(r *digest.Request) { r.Body = []byte("other") },
		func(r *digest.Request) { r.Team, r.Method = "redP", "OST" }, // the same bytes with another boundary between fields
	} {
		r := request()
		change(&r)
		is.True(!seen[digest.Of(r)])
		seen[digest.Of(r)] = true
	}
}

func TestPartsOfTeamsDiffer(t *testing.T) {
	is := is.New(t)
	seen := map[digest.Digest]bool{}
	for _, d := range []digest.Digest{
		digest.OfPart("", "a"), digest.OfPart("", "b"), digest.OfPart("red", "a"), digest.OfPart("blue", "a"), digest.OfPart("reda", ""),
	} {
		is.True(!seen[d])
		seen[d] = true
	}
	is.Equal(digest.OfPart("red", "a"), digest.OfPart("red", "a"))
}

func TestParseReadsString(t *testing.T) {
	is := is.New(t)
	for _, d := range []digest.Digest{0, 0xab, digest.Of(request())} {
		is.Equal(len(d.String()), 16)
		got, err := digest.Parse(d.String())
		is.NoErr(err)
		is.Equal(got, d)
	}
	_, err := digest.Parse("no digest")
	is.True(err != nil)
}

func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 16 << 10} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			r := request()
			r.Body = make([]byte, size)
			b.ReportAllocs()
			for b.Loop() {
				digest.Of(r)
			}
		})
	}
}
