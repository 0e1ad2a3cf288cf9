package config

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/creasty/defaults"
	"github.com/go-playground/validator/v10"

	"spindlehitch/internal/controlplane/quota"
)

// rules are the library's and these of our own, which stand beside the fields they are for. They are made once, with the
// first file.
var rules = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml")+f.Tag.Get("json"), ",")
		return name
	})
	for tag, good := range map[string]func(string) bool{
		"addr":  func(s string) bool { return badAddr(s) == nil },
		"nqn":   func(s string) bool { return s != "" && len(s) <= 223 },
		"name":  func(s string) bool { return s != "" && len(s) <= quota.MaxNameBytes },
		"use":   func(s string) bool { return slices.Contains(quota.Resources, quota.Resource(s)) },
		"hex64": func(s string) bool { _, err := strconv.ParseUint(s, 16, 64); return err == nil },
	} {
		must(v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return good(f.Field().String()) }))
	}
	for tag, known := range map[string]func(*Config) map[string]bool{"class": (*Config).ClassNames, "plan": (*Config).PlanNames} {
		must(v.RegisterValidationCtx(tag, func(ctx context.Context, f validator.FieldLevel) bool {
			c, _ := ctx.Value(settings{}).(*Config)
			return c == nil || known(c)[f.Field().String()]
		}))
	}
	v.RegisterStructValidation(func(s validator.StructLevel) {
		if a := s.Current().Interface().(Agent); len(a.Peers) > 0 && a.API() == "" {
			s.ReportError(a.ID, "id", "ID", "peer", "")
		}
	}, Agent{})
	v.RegisterStructValidation(checkFeed, Feed{})
	return v
})

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// settings is the key of the settings that names in an operator's file are checked against.
type settings struct{}

// says is what a broken rule is called, with the value and the rule's bound.
var says = map[string]string{
	"nqn":           "wanted 1 to 223 bytes",
	"name":          "wanted 1 to " + strconv.Itoa(quota.MaxNameBytes) + " bytes",
	"use":           "unknown use {value}",
	"hex64":         "{value} is not a hexadecimal number of 64 bits",
	"class":         "class {value} is not in the settings",
	"plan":          "plan {value} is not in the settings",
	"peer":          "{value} is none of the peers",
	"hexadecimal":   "{value} is not in hexadecimal digits",
	"len":           "wanted {bound} digits",
	"oneof":         "unknown: {value} is none of {bound}",
	"unique":        "{bound} there twice",
	"ltfield":       "{value} is not under probe_ms",
	"gtfield":       "{value} is not over probe_ms",
	"no_region":     "{value} is none of the regions",
	"no_zone":       "{value} is none of the zones of {bound}",
	"two_regions":   "{value} is a zone of {bound} as well",
	"required_with": "required where {bound} is set",
	"gt":            "{value} is not over {bound}",
	"gte":           "{value} is under {bound}",
	"lt":            "{value} is not under {bound}",
	"lte":           "{value} is over {bound}",
	"min":           "at least {bound}",
	"max":           "too many or too long, {bound} at most",
}

// check fills in what is not told, and names every field of a file that cannot be served, and why. Names of classes and plans
// are checked where the settings are given.
func check(file any, against *Config) error {
	if err := defaults.Set(file); err != nil {
		return err
	}
	err := rules().StructCtx(context.WithValue(context.Background(), settings{}, against), file)
	var broken validator.ValidationErrors
	if !errors.As(err, &broken) {
		return err
	}
	found := make([]error, len(broken))
	for i, b := range broken {
		_, path, _ := strings.Cut(b.Namespace(), ".")
		switch b.Tag() {
		case "required", "required_without":
			found[i] = MissingField(path)
		case "addr":
			found[i] = fmt.Errorf("%s: %w", path, badAddr(b.Value().(string)))
		default:
			value := fmt.Sprint(b.Value())
			if b.Kind() == reflect.String {
				value = strconv.Quote(value)
			}
			bound := b.Param()
			if b.Tag() == "unique" || b.Tag() == "required_with" {
				bound = strings.ToLower(bound) // a field of ours, not a word of the file's
			}
			found[i] = fmt.Errorf("%s: %s", path, strings.NewReplacer("{value}", value, "{bound}", bound).Replace(says[b.Tag()]))
		}
	}
	return errors.Join(found...)
}

// badAddr is why an address cannot be used; nil: it can.
func badAddr(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q is not a number from 1 to 65535", port)
	}
	return nil
}
