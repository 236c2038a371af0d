"""Compare scheduling policies on the fleet without network, under a load file.

    python benchmarks/compare_policies.py benchmarks/loads/short-slack-heavy.toml --seeds 5
        --variant "few jitter: placement.JITTER_SHARE=0.02" --variant ...

A variant replaces constants of modules in `onyxfork.direct`. For each variant the median and the
spread over the seeds are printed. Run it with the package of another checkout on `PYTHONPATH` to
compare code.
"""

import argparse
import ast
import importlib
import pkgutil
import sys
import tomllib
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).parent.parent / "tests" / "direct"))
from load_file import play_load  # noqa: E402

import onyxfork.direct  # noqa: E402


def parse_variant(text):
    """Return the name and the constants of a variant, ``NAME: module.CONSTANT=value, ...``."""
    name, _, assignments = text.partition(":")
    constants = {}
    for assignment in filter(None, map(str.strip, assignments.split(","))):
        target, _, value = assignment.partition("=")
        constants[target.strip()] = ast.literal_eval(value.strip())
    return name.strip(), constants


def replace_constants(constants):
    """Replace constants in their modules and wherever they have been imported."""
    modules = [
        importlib.import_module(f"onyxfork.direct.{module.name}")
        for module in pkgutil.iter_modules(onyxfork.direct.__path__)
    ]
    for target, value in constants.items():
        module, _, name = target.rpartition(".")
        former = getattr(importlib.import_module(f"onyxfork.direct.{module}"), name)
        for other in modules:
            if getattr(other, name, None) is former:
                setattr(other, name, value)


def play(load, constants, seed):
    """Play a load with replaced constants and return its figures."""
    replace_constants(constants)
    return play_load(load, seed)


def main():
    """Play all variants and print a row for each."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("load")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--variant", action="append", default=[])
    options = parser.parse_args()
    load = tomllib.loads(Path(options.load).read_text())
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    header = None
    for name, constants in map(parse_variant, ["as it is", *options.variant]):
        with ProcessPoolExecutor(options.jobs, max_tasks_per_child=1) as pool:
            plays = list(pool.map(partial(play, load, constants), seeds))
        if header is None:
            header = list(plays[0])
            print("variant".ljust(28), *(key.rjust(17) for key in header))
        cells = []
        for key in header:
            values = sorted(figures[key] for figures in plays)
            cells.append(f"{median(values):.3f} ({values[0]:.3f}-{values[-1]:.3f})".rjust(17))
        print(name.ljust(28), *cells, flush=True)


if __name__ == "__main__":
    main()
