package placement

import "github.com/go-faster/errors"

// Mode selects the logic by which requests are placed. The zero value stands for Homes.
type Mode string

const (
	// Homes places each request on one of a few engines that its adapter is mapped to.
	Homes Mode = "homes"
	// Cost places each request where it is expected to be finished soonest, and admits requests by rank if
	// capacity is insufficient.
	Cost Mode = "cost"
)

// ParseMode returns the mode with the name; Homes if the name is empty.
func ParseMode(name string) (Mode, error) {
	switch m := Mode(name); m {
	case "":
		return Homes, nil
	case Homes, Cost:
		return m, nil
	}
	return "", errors.Errorf("placement %q is neither %q nor %q", name, Homes, Cost)
}
