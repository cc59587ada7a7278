#include "galenapulley/clock.hpp"

int main()
{
    return galenapulley::wall_time() > 0 ? 0 : 1;
}
