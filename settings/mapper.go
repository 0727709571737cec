package settings

import (
	"fmt"
	"reflect"
	"time"

	"github.com/alecthomas/kong"
)

// mappers returns an option that lets kong continue after a number, boolean or
// duration that cannot be decoded, so that later problems are found too. Each such
// value is recorded as a problem. Strings can always be decoded.
func (c *problemCollector) mappers() kong.Option {
	c.undecoded = make(map[string]bool)
	defaults := kong.NewRegistry().RegisterDefaults()
	options := []kong.Option{}
	for _, zero := range []any{int(0), int64(0), uint(0), uint64(0), float64(0), false} {
		t := reflect.TypeOf(zero)
		options = append(options, kong.KindMapper(t.Kind(), c.wrap(defaults.ForType(t))))
	}
	duration := reflect.TypeFor[time.Duration]()
	options = append(options, kong.TypeMapper(duration, c.wrap(defaults.ForType(duration))))
	return kong.OptionFunc(func(k *kong.Kong) error {
		for _, option := range options {
			if err := option.Apply(k); err != nil {
				return err
			}
		}
		return nil
	})
}

// wrap returns a mapper that records an error of the inner mapper as a problem
// instead of returning it.
func (c *problemCollector) wrap(inner kong.Mapper) kong.Mapper {
	decode := kong.MapperFunc(func(ctx *kong.DecodeContext, target reflect.Value) error {
		if err := inner.Decode(ctx, target); err != nil {
			c.undecoded[ctx.Value.Name] = true
			c.messages = append(c.messages, fmt.Sprintf("--%s: %v", ctx.Value.Name, err))
		}
		return nil
	})
	if innerBool, ok := inner.(kong.BoolMapper); ok {
		return boolMapper{Mapper: decode, inner: innerBool}
	}
	return decode
}

// boolMapper is a mapper of boolean flags, which need no value.
type boolMapper struct {
	kong.Mapper
	inner kong.BoolMapper
}

// IsBool reports whether the flag needs no value.
func (b boolMapper) IsBool() bool { return b.inner.IsBool() }
