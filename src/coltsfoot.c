#include "cli.h"

int
main(int argc, char **argv)
{
    return Cli_Main(argc, argv);
}
