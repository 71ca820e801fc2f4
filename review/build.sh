#!/bin/bash
# The stand-ins are Python files that need only the standard library and the virtual environment of the deploy
# file's build: this checks that each of them compiles.
cd "$(dirname "$0")" || exit 2
for file in */*.py; do
    ../.venv/bin/python -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file" || exit 2
done
