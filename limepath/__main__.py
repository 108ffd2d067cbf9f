"""`python -m limepath` runs one front, as the platform does; with arguments it is the command line."""

import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from limepath.cli import main
    else:
        from limepath.early_signals import defer_signals

        defer_signals()
        from limepath.front.start import main
    sys.exit(main())
