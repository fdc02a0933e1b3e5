package namer

import "github.com/pkg/errors"

// Role says which phase of inference an engine serves.
type Role string

// The roles that an engine can take.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// UnmarshalText accepts only the known roles.
func (r *Role) UnmarshalText(text []byte) error {
	switch role := Role(text); role {
	case RoleMixed, RolePrefill, RoleDecode:
		*r = role
		return nil
	}
	return errors.Errorf("role %q does not exist; allowed are %q, %q and %q", text, RoleMixed, RolePrefill, RoleDecode)
}

// CanPrefill reports whether an engine with this role processes prompts.
func (r Role) CanPrefill() bool { return r == RoleMixed || r == RolePrefill }

// CanDecode reports whether an engine with this role generates tokens.
func (r Role) CanDecode() bool { return r == RoleMixed || r == RoleDecode }
