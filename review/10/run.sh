#!/usr/bin/env bash
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 118 python3 case.py
