"""Run the command line with ``python -m poplarrelay``."""

from poplarrelay.cli import main

if __name__ == "__main__":
    main()
