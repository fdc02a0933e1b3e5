package recorder

import (
	"fmt"
	"strconv"
	"strings"
)

// formatPair formats a key=value pair. It quotes values that contain white space, a quote or an equals sign.
func formatPair(key string, value any) string {
	if value == nil {
		return ""
	}
	text := fmt.Sprint(value)
	if strings.ContainsAny(text, " =\"\n\t") {
		text = strconv.Quote(text)
	}
	return key + "=" + text
}
